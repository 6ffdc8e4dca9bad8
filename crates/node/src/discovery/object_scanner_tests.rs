//! Unit tests of the object scanner.

use super::*;

#[test]
fn an_object_ends_at_a_line_end_outside_of_brackets_and_strings() {
    for object in [
        "{}\n",
        "\n",
        "{\n  \"a\": [\n1]\n}\n",
        "{\"a\":\"}\\\"\\\\\"}\n",
    ] {
        let bytes = [object.as_bytes(), b"{"].concat();
        assert_eq!(
            ObjectScanner::default().find_end(&bytes),
            Some(object.len()),
            "{object:?}"
        );
    }
}

#[test]
fn end_of_an_object_is_found_if_the_object_arrives_byte_by_byte() {
    let object = b"{\"a\":\"\\n\n\"}\n";
    let mut scanner = ObjectScanner::default();
    for count in 0..object.len() {
        assert_eq!(scanner.find_end(&object[..count]), None, "{count}");
    }
    assert_eq!(scanner.find_end(object), Some(object.len()));
    assert_eq!(scanner.find_end(b"{}\n"), Some(3));
}
