//! Identifiers of requests and attempts.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Identifier of a request: 128 random bits, assigned on arrival.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Request(pub u128);

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl FromStr for Request {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Request, Self::Err> {
        u128::from_str_radix(text, 16).map(Request)
    }
}

/// Number of an attempt at a request, starting at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt(pub u32);
