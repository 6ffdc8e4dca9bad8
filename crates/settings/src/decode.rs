//! Helper functions shared by the modules that read the sections of the settings.

use crate::json::{ConfigError, JsonValue};

/// Returns the error for a string that is not one of the values that its key allows.
pub(crate) fn unknown_value(value: &JsonValue, string: &str) -> ConfigError {
    value.invalid(format!("unknown value `{string}`"))
}

/// Returns the entries of the array under `key`; none if the key is absent.
///
/// # Errors
///
/// If the value is not an array.
pub(crate) fn optional_array<'a>(
    parent: &JsonValue<'a>,
    key: &str,
) -> Result<Vec<JsonValue<'a>>, ConfigError> {
    parent.get_or(key, Vec::new(), JsonValue::array)
}

/// Returns the strings in the array under `key`; none if the key is absent.
///
/// # Errors
///
/// If the value is not an array, or an entry is not a string.
pub(crate) fn optional_strings(parent: &JsonValue, key: &str) -> Result<Vec<String>, ConfigError> {
    optional_array(parent, key)?
        .iter()
        .map(|entry| Ok(entry.string()?.to_string()))
        .collect()
}

/// Returns the number under `key` in the object under `section`; 0 if either key is absent.
///
/// # Errors
///
/// If the value is not a number.
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

/// Returns the `name` of each entry; an empty string if the entry has none.
///
/// # Errors
///
/// If a name is not a string.
pub(crate) fn entry_names(entries: &[JsonValue]) -> Result<Vec<String>, ConfigError> {
    entries
        .iter()
        .map(|entry| Ok(entry.get_or("name", "", JsonValue::string)?.to_string()))
        .collect()
}
