#include "ctl/ctl.h"
#include <iostream>

int
main(int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  return static_cast<int>(yp::RunCommandLine(arguments, { std::cout, std::cerr }));
}
