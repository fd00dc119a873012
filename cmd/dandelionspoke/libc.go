package main

// #include <stdlib.h>
import "C"

// linkedToLibc records that the binary is linked to the C library, whose name service and time zone rules apply.
const linkedToLibc = true
