//! Claims of at-most-once requests: states and what each repeat gets.
