//! Reads typed values from JSON text. Unlike the errors of the JSON parser, those of this module
//! name the key that is missing or has a value of the wrong type.

use miniserde::json::{self, Number, Value};
use thiserror::Error;

/// Floats without a fractional part are read as integers below this limit. It is a little less than
/// 2^53, up to which a 64-bit float represents every integer exactly.
const MAX_INTEGRAL_FLOAT: f64 = 9e15;

/// Why a configuration or another JSON text can't be read. The message is a single line; it names
/// the key if the error concerns one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The text is not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// The text is not JSON.
    #[error("not JSON")]
    NotJson,
    /// A required key is missing, or its value is `null`.
    #[error("missing field `{path}`")]
    MissingField {
        /// Path of the key, such as `limits.sockets` or `grades[0].effect`.
        path: String,
    },
    /// The value of a key is invalid.
    #[error("field `{path}`: {problem}")]
    InvalidField {
        /// Path of the key, such as `limits.sockets` or `grades[0].effect`.
        path: String,
        /// What is wrong with the value, such as `must be a number`.
        problem: String,
    },
}

/// A parsed JSON text.
pub struct Document {
    root: Value,
}

/// A value in a [`Document`], with the path that names it in errors.
#[derive(Clone)]
pub struct JsonValue<'a> {
    value: &'a Value,
    /// Keys and indices from the root to this value; empty for the root.
    path: String,
}

impl Document {
    /// Parses a JSON text.
    ///
    /// # Errors
    ///
    /// If it is not UTF-8 or not JSON.
    pub fn parse(text: &[u8]) -> Result<Document, ConfigError> {
        let text = std::str::from_utf8(text).map_err(|_| ConfigError::NotUtf8)?;
        json::from_str(text)
            .map(|root| Document { root })
            .map_err(|_| ConfigError::NotJson)
    }

    /// Returns the top-level value.
    pub fn root(&self) -> JsonValue<'_> {
        JsonValue {
            value: &self.root,
            path: String::new(),
        }
    }
}

impl<'a> JsonValue<'a> {
    /// Returns the value under `key`; `None` if the key is absent, if its value is `null`, or if
    /// this value is not an object.
    pub fn find(&self, key: &str) -> Option<JsonValue<'a>> {
        let Value::Object(object) = self.value else {
            return None;
        };
        let value = object
            .get(key)
            .filter(|value| !matches!(value, Value::Null))?;
        Some(JsonValue {
            value,
            path: self.path_to(key),
        })
    }

    /// Returns the value under `key`, a required key.
    ///
    /// # Errors
    ///
    /// If [`find`](JsonValue::find) returns `None`.
    pub fn get(&self, key: &str) -> Result<JsonValue<'a>, ConfigError> {
        self.find(key).ok_or_else(|| ConfigError::MissingField {
            path: self.path_to(key),
        })
    }

    /// Returns the value under `key`, converted by `read`, or `default` if
    /// [`find`](JsonValue::find) returns `None`.
    ///
    /// # Errors
    ///
    /// Those of `read`.
    pub fn get_or<T>(
        &self,
        key: &str,
        default: T,
        read: fn(&JsonValue<'a>) -> Result<T, ConfigError>,
    ) -> Result<T, ConfigError> {
        self.find(key).map_or(Ok(default), |value| read(&value))
    }

    /// Returns an error about this value; `problem` says what is wrong with it.
    pub fn invalid(&self, problem: impl Into<String>) -> ConfigError {
        ConfigError::InvalidField {
            path: self.path.clone(),
            problem: problem.into(),
        }
    }

    /// Returns an error about the value under `key`; `problem` says what is wrong with it.
    pub fn invalid_at(&self, key: &str, problem: impl Into<String>) -> ConfigError {
        ConfigError::InvalidField {
            path: self.path_to(key),
            problem: problem.into(),
        }
    }

    fn path_to(&self, key: &str) -> String {
        let separator = if self.path.is_empty() { "" } else { "." };
        format!("{}{separator}{key}", self.path)
    }

    /// Returns this value as an integer. A float without a fractional part is accepted if it is
    /// below 9e15, where floats represent all integers exactly.
    ///
    /// # Errors
    ///
    /// If the value is not a non-negative integer.
    pub fn integer(&self) -> Result<u64, ConfigError> {
        match self.value {
            Value::Number(Number::U64(integer)) => Ok(*integer),
            Value::Number(Number::F64(float))
                if *float >= 0.0 && float.fract() == 0.0 && *float < MAX_INTEGRAL_FLOAT =>
            {
                Ok(*float as u64)
            }
            _ => Err(self.invalid("must be a non-negative integer")),
        }
    }

    /// Returns this value as an integer of a narrower type.
    ///
    /// # Errors
    ///
    /// If the value is not a non-negative integer, or is too large for the type.
    pub fn small_integer<T: TryFrom<u64>>(&self) -> Result<T, ConfigError> {
        self.integer()?
            .try_into()
            .map_err(|_| self.invalid("is too large"))
    }

    /// Returns this value as a float, which is always finite.
    ///
    /// # Errors
    ///
    /// If the value is not a finite number.
    pub fn number(&self) -> Result<f64, ConfigError> {
        match self.value {
            Value::Number(Number::U64(integer)) => Ok(*integer as f64),
            Value::Number(Number::I64(integer)) => Ok(*integer as f64),
            Value::Number(Number::F64(float)) if float.is_finite() => Ok(*float),
            _ => Err(self.invalid("must be a number")),
        }
    }

    /// Returns this value as a boolean.
    ///
    /// # Errors
    ///
    /// If the value is neither `true` nor `false`.
    pub fn boolean(&self) -> Result<bool, ConfigError> {
        match self.value {
            Value::Bool(boolean) => Ok(*boolean),
            _ => Err(self.invalid("must be true or false")),
        }
    }

    /// Returns this value as a string.
    ///
    /// # Errors
    ///
    /// If the value is not a string.
    pub fn string(&self) -> Result<&'a str, ConfigError> {
        match self.value {
            Value::String(string) => Ok(string),
            _ => Err(self.invalid("must be a string")),
        }
    }

    /// Returns the entries of this value, an array.
    ///
    /// # Errors
    ///
    /// If the value is not an array.
    pub fn array(&self) -> Result<Vec<JsonValue<'a>>, ConfigError> {
        let Value::Array(array) = self.value else {
            return Err(self.invalid("must be an array"));
        };
        let entry = |(index, value)| JsonValue {
            value,
            path: format!("{}[{index}]", self.path),
        };
        Ok(array.iter().enumerate().map(entry).collect())
    }
}
