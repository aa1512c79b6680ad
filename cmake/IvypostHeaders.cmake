# Headers that cost most of a compile, compiled once for each set of flags and shared by the targets that ask for
# them. The linter does not use them.
option(IVYPOST_PCH "Compile the heavy headers once" ON)

add_library(ivypost_net_headers OBJECT ${CMAKE_CURRENT_LIST_DIR}/empty.cpp)
target_link_libraries(ivypost_net_headers PUBLIC Boost::headers Threads::Threads)
if(IVYPOST_PCH)
  target_precompile_headers(ivypost_net_headers PRIVATE
    <utility> <boost/asio.hpp> <boost/beast/core.hpp> <boost/beast/http.hpp> <functional> <map> <memory> <nlohmann/json.hpp>
    <optional> <string> <unordered_map> <unordered_set> <variant> <vector>)
  target_link_libraries(ivypost_net_headers PUBLIC nlohmann_json::nlohmann_json)
endif()

# For a target that uses Boost.Asio or Beast.
function(ivypost_net_headers target)
  target_link_libraries(${target} PUBLIC Boost::headers Threads::Threads)
  if(IVYPOST_PCH)
    target_precompile_headers(${target} REUSE_FROM ivypost_net_headers)
  endif()
endfunction()
