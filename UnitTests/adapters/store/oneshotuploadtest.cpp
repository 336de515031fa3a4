#include "adapters/store/oneshotupload.h"

#include "UnitTests/standins/httpclient.h"
#include "standins/plainservice/plainserviceserver.h"

#include <catch2/catch.hpp>

using namespace ibismast;
using namespace ibismast::test;

// Guards against QNetworkAccessManager repeating a call whose answer was lost: with an ordinary body the service below
// counts several runs.
TEST_CASE("a call whose answer is lost is sent once", "[adapters]")
{
    ensureApplication();
    const auto body = GENERATE(as<QByteArray>(), "", R"({"reference": "r"})");
    PlainServiceServer server;
    QNetworkAccessManager manager;
    HttpClient control(server.start(0));
    // The connection is used once before, since the library repeats calls on reused connections.
    control.post("/x", {{"reference", "before"}});
    control.post("/control", {{"fault", "lose_answer"}});
    CHECK(HttpClient::finish(control.start("/x", body)).error != QNetworkReply::NoError);
    CHECK(control.get("/control").json()["calls"].toInt() == 2);
}
