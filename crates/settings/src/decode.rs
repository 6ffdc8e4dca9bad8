//! Helpers that the sections of the settings share.

use crate::json::{ConfigError, JsonValue};

/// The error for a text that is none of the words which its key allows.
pub(crate) fn unknown_value(value: &JsonValue, string: &str) -> ConfigError {
    value.invalid(format!("unknown word `{string}`"))
}

/// The array under `key`; an absent one is empty.
///
/// # Errors
///
/// If the value is no array.
pub(crate) fn optional_array<'a>(
    parent: &JsonValue<'a>,
    key: &str,
) -> Result<Vec<JsonValue<'a>>, ConfigError> {
    parent.get_or(key, Vec::new(), JsonValue::array)
}

/// The strings in the array under `key`; an absent one is empty.
///
/// # Errors
///
/// If the value is no array, or an entry is no string.
pub(crate) fn optional_strings(parent: &JsonValue, key: &str) -> Result<Vec<String>, ConfigError> {
    optional_array(parent, key)?
        .iter()
        .map(|entry| Ok(entry.string()?.to_string()))
        .collect()
}

/// The number under `key` within the object under `section`; 0 where either is absent.
///
/// # Errors
///
/// If the value is no number.
pub(crate) fn optional_number_in(
    parent: &JsonValue,
    section: &str,
    key: &str,
) -> Result<f64, ConfigError> {
    match parent.find(section) {
        Some(section) => section.get_or(key, 0.0, JsonValue::number),
        None => Ok(0.0),
    }
}

/// The `name` of each entry; empty where it has none.
///
/// # Errors
///
/// If a name is no string.
pub(crate) fn entry_names(entries: &[JsonValue]) -> Result<Vec<String>, ConfigError> {
    entries
        .iter()
        .map(|entry| Ok(entry.get_or("name", "", JsonValue::string)?.to_string()))
        .collect()
}
