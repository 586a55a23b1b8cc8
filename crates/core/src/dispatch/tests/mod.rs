mod builds;
mod choice;
mod evacuation;
mod leaving;
mod load;
mod simulation;
mod stage;
mod throttle;
