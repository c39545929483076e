//! A target's own statement that it is leaving.

/// Whether a target has said that it is leaving.
///
/// The statement holds for one generation of the target. It ends with a newer generation, never
/// with time, and a late statement of an older generation changes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainSignal {
    generation: u64,
    received: bool,
}

impl DrainSignal {
    /// Creates the state of a generation that has said nothing.
    pub fn new(generation: u64) -> Self {
        Self {
            generation,
            received: false,
        }
    }

    /// Returns the newest known generation of the target.
    pub fn generation(self) -> u64 {
        self.generation
    }

    /// Returns whether the newest known generation has said that it is leaving.
    pub fn is_received(self) -> bool {
        self.received
    }

    /// Records that `generation` has said that it is leaving. Returns whether this is new.
    pub fn receive(&mut self, generation: u64) -> bool {
        let is_new = generation > self.generation || !self.received;
        if generation < self.generation || !is_new {
            return false;
        }
        *self = Self {
            generation,
            received: true,
        };
        true
    }
}
