#include <criterion/criterion.h>
Test(x, y) {}
