//! Open-loop load and experiments on real processes.
