//! Reads values out of JSON and names the key that is missing or of the wrong sort: miniserde's own
//! errors name none.

use miniserde::json::{self, Number, Value};

/// What is wrong with a text, in words that name the key.
pub type Fault = String;

/// A parsed text.
pub struct Tree(Value);

/// A place in a parsed text, with the path that led there.
#[derive(Clone)]
pub struct Place<'a> {
    value: &'a Value,
    path: String,
}

impl Tree {
    /// Parses a text.
    pub fn parse(text: &[u8]) -> Result<Tree, Fault> {
        let text = std::str::from_utf8(text).map_err(|_| "not UTF-8".to_string())?;
        json::from_str(text)
            .map(Tree)
            .map_err(|_| "not JSON".to_string())
    }

    /// The whole of it.
    pub fn root(&self) -> Place<'_> {
        Place {
            value: &self.0,
            path: String::new(),
        }
    }
}

impl<'a> Place<'a> {
    /// The value under `key`; an absent one and `null` are alike.
    pub fn find(&self, key: &str) -> Option<Place<'a>> {
        let Value::Object(object) = self.value else {
            return None;
        };
        let value = object.get(key).filter(|v| !matches!(v, Value::Null))?;
        Some(Place {
            value,
            path: self.path_to(key),
        })
    }

    /// The value under `key`, which must be there.
    pub fn get(&self, key: &str) -> Result<Place<'a>, Fault> {
        self.find(key)
            .ok_or_else(|| format!("missing field `{}`", self.path_to(key)))
    }

    /// The value under `key` as `read` has it, or `default` where there is none.
    pub fn or<T>(
        &self,
        key: &str,
        default: T,
        read: fn(&Place<'a>) -> Result<T, Fault>,
    ) -> Result<T, Fault> {
        self.find(key).map_or(Ok(default), |place| read(&place))
    }

    /// An error about this place.
    pub fn bad(&self, wanted: &str) -> Fault {
        format!("field `{}`: {wanted}", self.path)
    }

    /// An error about what stands under a key of this place.
    pub fn bad_at(&self, key: &str, wanted: &str) -> Fault {
        format!("field `{}`: {wanted}", self.path_to(key))
    }

    fn path_to(&self, key: &str) -> String {
        let dot = if self.path.is_empty() { "" } else { "." };
        format!("{}{dot}{key}", self.path)
    }

    /// A whole number, 0 or more.
    pub fn whole(&self) -> Result<u64, Fault> {
        match self.value {
            Value::Number(Number::U64(n)) => Ok(*n),
            Value::Number(Number::F64(f)) if *f >= 0.0 && f.fract() == 0.0 && *f < 9e15 => {
                Ok(*f as u64)
            }
            _ => Err(self.bad("must be a whole number, 0 or more")),
        }
    }

    /// A whole number that fits a narrower type.
    pub fn narrow<T: TryFrom<u64>>(&self) -> Result<T, Fault> {
        self.whole()?
            .try_into()
            .map_err(|_| self.bad("is too large"))
    }

    /// Any number.
    pub fn number(&self) -> Result<f64, Fault> {
        match self.value {
            Value::Number(Number::U64(n)) => Ok(*n as f64),
            Value::Number(Number::I64(n)) => Ok(*n as f64),
            Value::Number(Number::F64(f)) if f.is_finite() => Ok(*f),
            _ => Err(self.bad("must be a number")),
        }
    }

    /// True or false.
    pub fn flag(&self) -> Result<bool, Fault> {
        match self.value {
            Value::Bool(b) => Ok(*b),
            _ => Err(self.bad("must be true or false")),
        }
    }

    /// A text.
    pub fn text(&self) -> Result<&'a str, Fault> {
        match self.value {
            Value::String(s) => Ok(s),
            _ => Err(self.bad("must be a text")),
        }
    }

    /// The entries of an array.
    pub fn list(&self) -> Result<Vec<Place<'a>>, Fault> {
        let Value::Array(array) = self.value else {
            return Err(self.bad("must be a list"));
        };
        let place = |(i, value)| Place {
            value,
            path: format!("{}[{i}]", self.path),
        };
        Ok(array.iter().enumerate().map(place).collect())
    }
}
