//! Division of a large fleet into cells.
//!
//! Hosts make decisions from the reports that they exchange with each other. In a fleet of hundreds of hosts,
//! each can't send every report to every other. So a fleet that is larger than one cell is divided: a hash of
//! the name assigns each host and backend server to a cell, hosts report only to hosts of their own cell, and
//! they prefer their own cell's servers. A cell's part of each organisation's allowance is in proportion to its
//! number of hosts.

#[cfg(test)]
mod tests;

use crate::mix::hash;

/// Largest average number of hosts per cell.
pub const HOSTS_PER_CELL: usize = 32;

/// One cell of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Number of this cell, from 0.
    index: u64,
    /// Number of cells in the fleet.
    count: u64,
}

impl Default for Cell {
    fn default() -> Cell {
        Cell { index: 0, count: 1 }
    }
}

impl Cell {
    /// Returns the cell of a host in a fleet of `hosts` hosts. The number of cells is a power of two, so
    /// that it stays the same when the fleet grows by a few hosts, and no host moves to another cell. A fleet
    /// that outgrows its cells splits each of them in two.
    pub fn of(host: &str, hosts: usize) -> Cell {
        let count = hosts.div_ceil(HOSTS_PER_CELL).next_power_of_two() as u64;
        Cell { index: hash(host) % count, count }
    }

    /// Returns `true` if a host or backend server belongs to this cell.
    pub fn contains(&self, name: &str) -> bool {
        hash(name) % self.count == self.index
    }

    /// Returns `true` if this is the fleet's only cell.
    pub fn is_whole_fleet(&self) -> bool {
        self.count == 1
    }

    /// Returns this cell's index and the number of cells.
    pub fn index_and_count(&self) -> (u64, u64) {
        (self.index, self.count)
    }
}
