#pragma once

#include "ibismast/config/declarations.h"
#include "ibismast/core/messages.h"

#include <algorithm>

namespace ibismast
{

/// Model on an upstream.
struct PlacedModel
{
    ModelName model;
    std::string version;
    std::set<std::string> adapters;
    UpstreamRole role = UpstreamRole::Mixed;
    /// True while requests for it are queued or running.
    bool inUse = false;

    bool operator==(const PlacedModel &) const = default;
};

/// What the planner knows of an upstream.
struct UpstreamStatus
{
    InstanceId upstream;
    /// False if it is suspected or dead; its models then count as lost.
    bool alive = true;
    bool leaving = false;
    /// Models in ascending order of name.
    std::vector<PlacedModel> models;
};

/// Returns the place of @p model on an upstream, or null if it is not there.
[[nodiscard]] inline const PlacedModel *placedModel(const UpstreamStatus &status, const ModelName &model)
{
    const auto placed =
        std::find_if(status.models.begin(), status.models.end(), [&model](const PlacedModel &candidate) {
            return candidate.model == model;
        });
    return placed == status.models.end() ? nullptr : &*placed;
}

/// Tokens per second that are asked of a model in one failure domain.
struct ModelDemand
{
    double prefillRate = 0.0;
    double decodeRate = 0.0;
};

/// Order for the agent of an upstream.
struct PlacementOrder
{
    InstanceId upstream;
    UpstreamOrder order;
};

} // namespace ibismast
