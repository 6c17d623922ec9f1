int placeholder_for_the_bench = 0;
