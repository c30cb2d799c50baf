"""The clayfieldd daemon: runs one box, with its sockets and its disk."""
