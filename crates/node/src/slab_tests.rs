//! Unit tests of the table of numbered entries.

use super::*;

#[test]
fn lookup_by_a_removed_number_finds_nothing_and_numbers_increase() {
    let mut slab = Slab::new(2);
    let (a, b) = (slab.insert('a').unwrap(), slab.insert('b').unwrap());
    assert!(slab.insert('c').is_none());
    assert_eq!(slab.remove(a), Some('a'));
    assert_eq!(slab.remove(a), None);
    let later_numbers: Vec<u32> = (0..9)
        .map(|_| {
            let number = slab.insert('d').unwrap();
            slab.remove(number);
            number
        })
        .collect();
    assert!(later_numbers.is_sorted() && later_numbers[0] > b && !later_numbers.contains(&b));
    assert_eq!(
        (slab.get(b), slab.get(a), slab.len()),
        (Some(&'b'), None, 1)
    );
}
