//! Cells of a large fleet.
//!
//! Hosts that decide on what they know of each other can't all tell each other everything once they are
//! hundreds. So a fleet that is larger than one cell is divided: hosts and backend servers belong to a cell
//! by a hash of their names, hosts of a cell tell each other what they do, and they use their cell's
//! servers before others. A cell's part of each organisation's allowance is its part of the hosts.

#[cfg(test)]
mod tests;

/// Hosts of a cell on average, at most.
pub const HOSTS_PER_CELL: usize = 32;

/// A cell of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell {
    index: u64,
    count: u64,
}

impl Default for Cell {
    fn default() -> Cell {
        Cell { index: 0, count: 1 }
    }
}

impl Cell {
    /// The cell of a host in a fleet of so many. Their number is a power of two, so that a fleet that
    /// grows by a few hosts moves none between cells, and one that outgrows its cells divides each.
    pub fn of(host: &str, hosts: usize) -> Cell {
        let count = hosts.div_ceil(HOSTS_PER_CELL).next_power_of_two() as u64;
        Cell { index: hash(host) % count, count }
    }

    /// Whether a host or a backend server belongs to it.
    pub fn contains(&self, name: &str) -> bool {
        hash(name) % self.count == self.index
    }

    /// Whether it is the whole fleet.
    pub fn is_whole_fleet(&self) -> bool {
        self.count == 1
    }

    /// Its number, and the number of cells.
    pub fn index_and_count(&self) -> (u64, u64) {
        (self.index, self.count)
    }
}

/// The same on every host and in every version.
fn hash(name: &str) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
