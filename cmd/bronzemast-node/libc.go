package main

import "C" // links the program against the C library, which the platform requires
