/// Parses the reports of upstreams about their own state.
#ifndef DANDELION_PLATFORM_UPSTREAM_REPORTS_H
#define DANDELION_PLATFORM_UPSTREAM_REPORTS_H

#include "admission/Admission.h"
#include "wire/Wire.h"

namespace dandelion::platform {

/// Parses the report in a request. Errors: `UnknownObject` for a path or method that does not
/// accept reports, `BrokenMessage` for a body that cannot be parsed. A rejected request changes
/// nothing.
absl::StatusOr<UpstreamReport> ReadReport(const HttpRequest& aRequest);

/// The response that acknowledges a report.
HttpResponse AcknowledgeReport();

} // namespace dandelion::platform

#endif
