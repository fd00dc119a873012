package main

// #include <stdlib.h>
import "C"

// linkedToLibc marks a binary that is linked to the C library and so follows its name service and time zone rules.
const linkedToLibc = true
