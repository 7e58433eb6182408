#ifndef GENTIANROUTE_LOOP_H2O_H_
#define GENTIANROUTE_LOOP_H2O_H_

// Include h2o only through this header. Two of h2o's headers lack extern "C",
// and its flexible array members cause warnings in C++.

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#pragma GCC diagnostic ignored "-Wsign-compare"
extern "C" {
// clang-format off
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
// clang-format on
}
#pragma GCC diagnostic pop

#endif  // GENTIANROUTE_LOOP_H2O_H_
