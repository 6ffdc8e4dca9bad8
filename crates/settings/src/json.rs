//! Reads values out of JSON and names the key that is missing or of the wrong type: the parser's own
//! errors name none.

use miniserde::json::{self, Number, Value};
use thiserror::Error;

/// Why a configuration, or another JSON text, can't be read. Its text is one line that names the
/// key, if there is one to name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The text is not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// The text is not JSON.
    #[error("not JSON")]
    NotJson,
    /// A key is not there.
    #[error("missing field `{path}`")]
    MissingField {
        /// Path of the key, as `limits.sockets` or `grades[0].effect`.
        path: String,
    },
    /// The value of a key makes no sense.
    #[error("field `{path}`: {problem}")]
    InvalidField {
        /// Path of the key, as `limits.sockets` or `grades[0].effect`.
        path: String,
        /// What is wrong with the value.
        problem: String,
    },
}

/// A parsed text.
pub struct Document(Value);

/// A value in a parsed text, with the path that leads to it.
#[derive(Clone)]
pub struct JsonValue<'a> {
    value: &'a Value,
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
            .map(Document)
            .map_err(|_| ConfigError::NotJson)
    }

    /// The whole of it.
    pub fn root(&self) -> JsonValue<'_> {
        JsonValue {
            value: &self.0,
            path: String::new(),
        }
    }
}

impl<'a> JsonValue<'a> {
    /// The value under `key`; an absent one and `null` are alike.
    pub fn find(&self, key: &str) -> Option<JsonValue<'a>> {
        let Value::Object(object) = self.value else {
            return None;
        };
        let value = object.get(key).filter(|v| !matches!(v, Value::Null))?;
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

    /// The value under `key` as `read` has it, or `default` where there is none.
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

    /// An error about what stands under a key of this value.
    pub fn invalid_at(&self, key: &str, problem: impl Into<String>) -> ConfigError {
        ConfigError::InvalidField {
            path: self.path_to(key),
            problem: problem.into(),
        }
    }

    fn path_to(&self, key: &str) -> String {
        let dot = if self.path.is_empty() { "" } else { "." };
        format!("{}{dot}{key}", self.path)
    }

    /// A whole number, 0 or more.
    ///
    /// # Errors
    ///
    /// If it is none.
    pub fn integer(&self) -> Result<u64, ConfigError> {
        match self.value {
            Value::Number(Number::U64(n)) => Ok(*n),
            Value::Number(Number::F64(f)) if *f >= 0.0 && f.fract() == 0.0 && *f < 9e15 => {
                Ok(*f as u64)
            }
            _ => Err(self.invalid("must be a whole number, 0 or more")),
        }
    }

    /// A whole number that fits a narrower type.
    ///
    /// # Errors
    ///
    /// If it is no whole number, or too large for the type.
    pub fn small_integer<T: TryFrom<u64>>(&self) -> Result<T, ConfigError> {
        self.integer()?
            .try_into()
            .map_err(|_| self.invalid("is too large"))
    }

    /// Any finite number.
    ///
    /// # Errors
    ///
    /// If it is none.
    pub fn number(&self) -> Result<f64, ConfigError> {
        match self.value {
            Value::Number(Number::U64(n)) => Ok(*n as f64),
            Value::Number(Number::I64(n)) => Ok(*n as f64),
            Value::Number(Number::F64(f)) if f.is_finite() => Ok(*f),
            _ => Err(self.invalid("must be a number")),
        }
    }

    /// True or false.
    ///
    /// # Errors
    ///
    /// If it is neither.
    pub fn boolean(&self) -> Result<bool, ConfigError> {
        match self.value {
            Value::Bool(b) => Ok(*b),
            _ => Err(self.invalid("must be true or false")),
        }
    }

    /// A string.
    ///
    /// # Errors
    ///
    /// If it is none.
    pub fn string(&self) -> Result<&'a str, ConfigError> {
        match self.value {
            Value::String(s) => Ok(s),
            _ => Err(self.invalid("must be a text")),
        }
    }

    /// The entries of an array.
    ///
    /// # Errors
    ///
    /// If it is none.
    pub fn array(&self) -> Result<Vec<JsonValue<'a>>, ConfigError> {
        let Value::Array(array) = self.value else {
            return Err(self.invalid("must be a list"));
        };
        let entry = |(i, value)| JsonValue {
            value,
            path: format!("{}[{i}]", self.path),
        };
        Ok(array.iter().enumerate().map(entry).collect())
    }
}
