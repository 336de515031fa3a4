#include "PerformanceTest/routing/routingcost.h"

int main()
{
    return ibismast::measureRoutingCost();
}
