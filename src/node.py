"""Starts the program of a host from a checkout that is not installed."""

from egretstep.programs import node

if __name__ == '__main__':
    node.main()
