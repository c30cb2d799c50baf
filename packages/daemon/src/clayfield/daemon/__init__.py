"""The clayfieldd daemon: a box's decisions on sockets and a disk."""
