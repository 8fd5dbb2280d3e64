"""Runs the program of a host from a source tree that is not installed."""

from egretstep.programs import node

if __name__ == '__main__':
    node.main()
