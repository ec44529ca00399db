// Part of the easyloggingpp target and not of utils: a program that takes any symbol from that archive finds
// its storage there too. In utils the linker left it out for programs that log nothing themselves.
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
