/// Reads what upstreams say of themselves.
#ifndef DANDELION_PLATFORM_UPSTREAM_REPORTS_H
#define DANDELION_PLATFORM_UPSTREAM_REPORTS_H

#include "admission/Admission.h"
#include "wire/Wire.h"

namespace dandelion::platform {

/// The report in a request. Errors: `UnknownObject` for a path that takes no reports,
/// `BrokenMessage` for one that cannot be read; such a request names no upstream.
absl::StatusOr<UpstreamReport> ReadReport(const HttpRequest& aRequest);

/// The response that acknowledges a report.
HttpResponse AcknowledgeReport();

} // namespace dandelion::platform

#endif
