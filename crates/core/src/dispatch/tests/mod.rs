mod builds;
mod choice;
mod cold;
mod leaving;
mod load;
mod simulation;
mod stage;
mod throttle;
