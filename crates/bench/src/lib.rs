//! Scripted runs of the decisions, and the slopes behind the capacity page.
//!
//! A scripted run drives the decision code that ships, with a fixed seed and in virtual time, so
//! that its measures repeat exactly. What the engines do is reduced to what the decisions see.

pub mod scripted;
