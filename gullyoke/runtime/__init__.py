"""What all frontends share: dispatcher, duplicates, timer, clock, metrics, logs and sockets."""
