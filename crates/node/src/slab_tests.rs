//! Unit tests of `slab`.

use super::*;

#[test]
fn a_number_of_an_ended_entry_finds_nothing_and_numbers_rise() {
    let mut slots = Slab::new(2);
    let (a, b) = (slots.insert('a').unwrap(), slots.insert('b').unwrap());
    assert!(slots.insert('c').is_none());
    assert_eq!(slots.remove(a), Some('a'));
    assert_eq!(slots.remove(a), None);
    let later: Vec<u32> = (0..9)
        .map(|_| {
            let number = slots.insert('d').unwrap();
            slots.remove(number);
            number
        })
        .collect();
    assert!(later.is_sorted() && later[0] > b && !later.contains(&b));
    assert_eq!(
        (slots.get(b), slots.get(a), slots.len()),
        (Some(&'b'), None, 1)
    );
}
