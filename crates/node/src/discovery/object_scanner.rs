//! Finds where the objects of a watch end.

/// Finds line ends outside of any bracket, as objects may come indented.
#[derive(Default)]
pub struct ObjectScanner {
    /// Bytes of the buffer that are scanned already.
    scanned: usize,
    /// Open brackets.
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
}

impl ObjectScanner {
    /// Goes on over what has arrived in `bytes`, which still begins at the first object that has
    /// not ended. The length of that object with its line end, once it is there.
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
