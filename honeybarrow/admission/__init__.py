"""What is taken from clients: who they are, room and fair shares, messages that come again."""
