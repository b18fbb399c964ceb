"""Drive roadlift from the command line."""
