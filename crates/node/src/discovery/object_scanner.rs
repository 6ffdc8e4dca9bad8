//! Finds the ends of the JSON objects of a watch.

/// Finds line ends outside of all brackets and strings, as objects may be indented over several
/// lines.
#[derive(Default)]
pub struct ObjectScanner {
    /// Number of bytes at the start of the buffer that are scanned already.
    scanned: usize,
    /// Number of open brackets.
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
}

impl ObjectScanner {
    /// Searches `bytes`, which begins with one object, for the end of that object. Returns the
    /// length of the object including its line end; `None` if the end has not been received. The
    /// next call must then pass the same bytes, followed by new ones, and continues where this one
    /// stopped.
    pub fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for byte in &bytes[self.scanned..] {
            self.scanned += 1;
            match byte {
                _ if std::mem::take(&mut self.is_escaped) => {}
                b'\\' if self.is_in_string => self.is_escaped = true,
                b'"' => self.is_in_string = !self.is_in_string,
                _ if self.is_in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                b'\n' if self.depth == 0 => return Some(std::mem::take(self).scanned),
                _ => {}
            }
        }
        None
    }
}

#[cfg(test)]
#[path = "object_scanner_tests.rs"]
mod tests;
