"""Parts that all front ends share: dispatcher, duplicates, timer, clock, metrics, logs, sockets."""
