mod builds;
mod choice;
mod leaving;
mod load;
mod simulation;
mod stage;
mod throttle;
