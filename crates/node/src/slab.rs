//! A table of numbered entries. A number is not reused (before the counter wraps): its low bits
//! select the slot, the other bits are the generation, so that an event for a removed entry finds
//! nothing. Numbers increase, so requests that the decision module orders by number stay first in,
//! first out.

/// A table of entries that assigns a number to each of them.
pub struct Slab<T> {
    /// The number of slots is a power of two.
    slots: Vec<Option<Entry<T>>>,
    /// The number of the next entry, unless its slot is occupied; then the next number with a free
    /// slot is used.
    next_number: u32,
    len: usize,
    capacity: usize,
}

struct Entry<T> {
    number: u32,
    value: T,
}

impl<T> Slab<T> {
    /// An empty table for at most `capacity` entries.
    pub fn new(capacity: usize) -> Slab<T> {
        // At least two slots for each entry: a number whose slot is occupied is skipped, which
        // should be rare.
        let slot_count = (2 * capacity).next_power_of_two();
        Slab {
            slots: (0..slot_count).map(|_| None).collect(),
            next_number: 1,
            len: 0,
            capacity,
        }
    }

    /// Number of entries in the table, without the removed ones.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no more entries fit.
    pub fn is_full(&self) -> bool {
        self.len >= self.capacity
    }

    /// The number that the next entry will get; `None` when the table is full.
    pub fn next_number(&mut self) -> Option<u32> {
        if self.is_full() {
            return None;
        }
        while self.slots[self.slot_index(self.next_number)].is_some() {
            self.next_number = self.next_number.wrapping_add(1);
        }
        Some(self.next_number)
    }

    /// Adds an entry and returns its number; when the table is full, drops `value` and returns
    /// `None`.
    pub fn insert(&mut self, value: T) -> Option<u32> {
        let number = self.next_number()?;
        let slot = self.slot_index(number);
        self.slots[slot] = Some(Entry { number, value });
        self.next_number = number.wrapping_add(1);
        self.len += 1;
        Some(number)
    }

    /// The entry with this number; `None` if it has been removed.
    pub fn get(&self, number: u32) -> Option<&T> {
        self.slots[self.slot_index(number)]
            .as_ref()
            .filter(|entry| entry.number == number)
            .map(|entry| &entry.value)
    }

    /// Mutable access to the entry with this number; `None` if it has been removed.
    pub fn get_mut(&mut self, number: u32) -> Option<&mut T> {
        let slot = self.slot_index(number);
        self.slots[slot]
            .as_mut()
            .filter(|entry| entry.number == number)
            .map(|entry| &mut entry.value)
    }

    /// Removes the entry with this number and returns it; `None` if it has been removed already.
    pub fn remove(&mut self, number: u32) -> Option<T> {
        let slot = self.slot_index(number);
        let entry = self.slots[slot].take_if(|entry| entry.number == number)?;
        self.len -= 1;
        Some(entry.value)
    }

    /// All entries with their numbers, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        let entries = self.slots.iter().flatten();
        entries.map(|entry| (entry.number, &entry.value))
    }

    fn slot_index(&self, number: u32) -> usize {
        number as usize & (self.slots.len() - 1)
    }
}

#[cfg(test)]
#[path = "slab_tests.rs"]
mod tests;
