mod choice;
mod load;
mod simulation;
mod stage;
