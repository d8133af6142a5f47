"""Speaks to a proxy as a client does, and prints what it answers."""

import socket

COMMANDS = (
    b"mn\r\n",
    b"mg plum v O1 Pc=price-check,t=far-north,d=1000\r\n",
    b"mg plum v O2 Pc=price-check,t=far-north,d=1000\r\n",
    b"ms plum 2 O3 Pc=order-place,t=far-north,d=1000\r\n42\r\n",
)

with socket.create_connection(("127.0.0.1", 11211), timeout=5) as connection:
    answers = connection.makefile("rb")
    for command in COMMANDS:
        connection.sendall(command)
        line = answers.readline()
        print(line.decode().rstrip())
        if line.startswith(b"VA"):
            print(answers.read(int(line.split()[1]) + 2).decode().rstrip())
