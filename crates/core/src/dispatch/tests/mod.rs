mod choice;
mod load;
mod world;
