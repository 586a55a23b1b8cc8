//! Configuration: what is in force, how it spreads, when it is trusted.
