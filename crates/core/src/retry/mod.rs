//! Retries within a budget.
