package early

import "C" // compiles hangup.c
