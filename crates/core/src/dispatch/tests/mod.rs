mod builds;
mod choice;
mod leaving;
mod load;
mod prefix;
mod simulation;
mod stage;
mod throttle;
