//! Tables of numbered slots. A number is used once: its low bits name the slot, the rest its
//! generation, so that an event for something that has ended finds nothing. Numbers rise, which
//! keeps first come, first served among the reqs that the decisions order by number.

pub struct Slab<T> {
    /// A power of two.
    entries: Vec<Option<(u32, T)>>,
    next: u32,
    held: usize,
    most: usize,
}

impl<T> Slab<T> {
    /// A table for `most` entries at a time.
    pub fn new(most: usize) -> Slab<T> {
        // Twice the room: a number whose slot is still held is passed over, which should be rare.
        let size = (2 * most).next_power_of_two();
        Slab {
            entries: (0..size).map(|_| None).collect(),
            next: 1,
            held: 0,
            most,
        }
    }

    pub fn len(&self) -> usize {
        self.held
    }

    pub fn is_full(&self) -> bool {
        self.held >= self.most
    }

    fn place(&self, number: u32) -> usize {
        number as usize & (self.entries.len() - 1)
    }

    /// The number that the next entry gets; `None` when the table is full.
    pub fn vacant(&mut self) -> Option<u32> {
        if self.is_full() {
            return None;
        }
        while self.entries[self.place(self.next)].is_some() {
            self.next = self.next.wrapping_add(1);
        }
        Some(self.next)
    }

    pub fn insert(&mut self, entry: T) -> Option<u32> {
        let number = self.vacant()?;
        let place = self.place(number);
        self.entries[place] = Some((number, entry));
        self.next = number.wrapping_add(1);
        self.held += 1;
        Some(number)
    }

    pub fn get(&self, number: u32) -> Option<&T> {
        self.entries[self.place(number)]
            .as_ref()
            .filter(|held| held.0 == number)
            .map(|held| &held.1)
    }

    pub fn get_mut(&mut self, number: u32) -> Option<&mut T> {
        let place = self.place(number);
        self.entries[place]
            .as_mut()
            .filter(|held| held.0 == number)
            .map(|held| &mut held.1)
    }

    pub fn remove(&mut self, number: u32) -> Option<T> {
        let place = self.place(number);
        let held = self.entries[place].take_if(|held| held.0 == number)?;
        self.held -= 1;
        Some(held.1)
    }

    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        self.entries.iter().flatten().map(|held| (held.0, &held.1))
    }
}

#[cfg(test)]
#[path = "slab_tests.rs"]
mod tests;
