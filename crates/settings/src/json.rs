//! Reads values out of JSON text. Errors name the key that is missing or of the wrong type, which
//! those of the JSON parser do not.

use miniserde::json::{self, Number, Value};
use thiserror::Error;

/// Floats below this are read as whole numbers: up to 2^53, a little above, each whole number has a
/// float of its own.
const MAX_INTEGRAL_FLOAT: f64 = 9e15;

/// Why a configuration, or another JSON text, can't be read. Its text is one line; it names the key
/// if the error concerns one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The text is not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// The text is not JSON.
    #[error("not JSON")]
    NotJson,
    /// A key is missing.
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
        /// What is wrong with the value.
        problem: String,
    },
}

/// A parsed text.
pub struct Document {
    root: Value,
}

/// A value in a parsed text, and the path that leads to it.
#[derive(Clone)]
pub struct JsonValue<'a> {
    value: &'a Value,
    /// Empty for the root.
    path: String,
}

impl Document {
    /// Parses a text.
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

    /// The value of the whole text.
    pub fn root(&self) -> JsonValue<'_> {
        JsonValue {
            value: &self.root,
            path: String::new(),
        }
    }
}

impl<'a> JsonValue<'a> {
    /// The value under `key`; `None` if the key is absent, if its value is `null`, or if this is no
    /// object.
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

    /// The value under `key`.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub fn get(&self, key: &str) -> Result<JsonValue<'a>, ConfigError> {
        self.find(key).ok_or_else(|| ConfigError::MissingField {
            path: self.path_to(key),
        })
    }

    /// The value under `key`, converted by `read`, or `default` where there is none.
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

    /// An error about this value.
    pub fn invalid(&self, problem: impl Into<String>) -> ConfigError {
        ConfigError::InvalidField {
            path: self.path.clone(),
            problem: problem.into(),
        }
    }

    /// An error about the value under `key`.
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

    /// This value as a whole number, 0 or more.
    ///
    /// # Errors
    ///
    /// If it is something else.
    pub fn integer(&self) -> Result<u64, ConfigError> {
        match self.value {
            Value::Number(Number::U64(integer)) => Ok(*integer),
            Value::Number(Number::F64(float))
                if *float >= 0.0 && float.fract() == 0.0 && *float < MAX_INTEGRAL_FLOAT =>
            {
                Ok(*float as u64)
            }
            _ => Err(self.invalid("must be a whole number, 0 or more")),
        }
    }

    /// This value as a whole number of a narrower type.
    ///
    /// # Errors
    ///
    /// If it is no whole number, or too large for the type.
    pub fn small_integer<T: TryFrom<u64>>(&self) -> Result<T, ConfigError> {
        self.integer()?
            .try_into()
            .map_err(|_| self.invalid("is too large"))
    }

    /// This value as a finite number.
    ///
    /// # Errors
    ///
    /// If it is something else.
    pub fn number(&self) -> Result<f64, ConfigError> {
        match self.value {
            Value::Number(Number::U64(integer)) => Ok(*integer as f64),
            Value::Number(Number::I64(integer)) => Ok(*integer as f64),
            Value::Number(Number::F64(float)) if float.is_finite() => Ok(*float),
            _ => Err(self.invalid("must be a number")),
        }
    }

    /// This value as true or false.
    ///
    /// # Errors
    ///
    /// If it is neither.
    pub fn boolean(&self) -> Result<bool, ConfigError> {
        match self.value {
            Value::Bool(boolean) => Ok(*boolean),
            _ => Err(self.invalid("must be true or false")),
        }
    }

    /// This value as a string.
    ///
    /// # Errors
    ///
    /// If it is something else.
    pub fn string(&self) -> Result<&'a str, ConfigError> {
        match self.value {
            Value::String(string) => Ok(string),
            _ => Err(self.invalid("must be a text")),
        }
    }

    /// The entries of this value, an array.
    ///
    /// # Errors
    ///
    /// If it is something else.
    pub fn array(&self) -> Result<Vec<JsonValue<'a>>, ConfigError> {
        let Value::Array(array) = self.value else {
            return Err(self.invalid("must be a list"));
        };
        let entry = |(index, value)| JsonValue {
            value,
            path: format!("{}[{index}]", self.path),
        };
        Ok(array.iter().enumerate().map(entry).collect())
    }
}
