mod choice;
mod load;
mod simulation;
