"""Prints a line "file hash" for each C++ source: the hash of the file, of the project's headers it includes, and of the
linter's settings. A source without a built object gets the hash of all headers."""

import hashlib
import os
import subprocess
import sys

BUILD = "build"


def digest(path, cache={}):
    if path not in cache:
        with open(path, "rb") as stream:
            cache[path] = hashlib.sha256(stream.read()).hexdigest()
    return cache[path]


def recorded_dependencies():
    """Project files that each source was compiled from, as recorded by the build tool."""
    output = subprocess.run(["ninja", "-C", BUILD, "-t", "deps"], capture_output=True, text=True, check=False).stdout
    dependencies = {}
    for block in output.split("\n\n"):
        files = [os.path.normpath(os.path.join(BUILD, line.strip())) for line in block.splitlines()[1:]]
        own = [name for name in files if not name.startswith(("..", "/"))]
        if own:
            dependencies[own[0]] = sorted(own)
    return dependencies


def main():
    sources = sys.argv[1:]
    dependencies = recorded_dependencies()
    listed = subprocess.run(["git", "ls-files", "--cached", "--others", "--exclude-standard", "*.h"],
                            capture_output=True, text=True, check=True).stdout.split()
    headers = [name for name in listed if os.path.exists(name)]
    for source in sources:
        files = [name for name in dependencies.get(source, [source, *headers]) if os.path.exists(name)]
        text = " ".join(digest(name) for name in [".clang-tidy", *files])
        print(source, hashlib.sha256(text.encode()).hexdigest()[:32])


if __name__ == "__main__":
    main()
