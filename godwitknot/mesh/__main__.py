"""Starts the program of a mesh node."""

from godwitknot.mesh.program import main

if __name__ == '__main__':
    main()
