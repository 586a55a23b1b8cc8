mod builds;
mod choice;
mod leaving;
mod load;
mod priority;
mod simulation;
mod stage;
mod throttle;
