/*
 * A library that is preloaded into a process under test. It makes system calls fail, shortens reads and writes, and
 * shifts the wall clock. A control file, which this library maps into memory and the test writes, selects the faults.
 *
 * The control file is an array of 64-bit integers in native byte order. Slot 0 is the offset of the wall clock in
 * nanoseconds. Slot 1 is the maximum number of bytes that a read from a connection returns, and slot 2 the maximum number
 * of bytes that a write to a connection accepts (0: no limit). From slot FIRST_CALL on, each call has three slots: the
 * error to return (0: none), the number of calls in a thousand that fail, and the number of injected faults, which this
 * library counts.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define SLOTS 128
#define WALL_CLOCK_OFFSET 0
#define READ_LIMIT 1
#define WRITE_LIMIT 2
#define FIRST_CALL 8
#define SLOTS_PER_CALL 3
#define MAX_TRACKED_DESCRIPTORS 65536

/* The order must match the enum `Call` of the crate. */
enum call {
    CALL_ACCEPT,
    CALL_SOCKET,
    CALL_BIND,
    CALL_CONNECT,
    CALL_REGISTER,
    CALL_WAIT,
    CALL_READ_ACCEPTED,
    CALL_READ_CONNECTED,
    CALL_WRITE_ACCEPTED,
    CALL_WRITE_CONNECTED,
    CALL_SEND_DATAGRAM,
    CALL_RECEIVE_DATAGRAM,
    CALL_OPEN,
};

static _Atomic int64_t *control;
/* The origin of each descriptor: 1 if this process connected it, 2 if it was accepted, 0 otherwise. */
static _Atomic unsigned char origins[MAX_TRACKED_DESCRIPTORS];
static _Atomic uint64_t draw_count;

__attribute__((constructor)) static void map_control(void)
{
    const char *path = getenv("WHEELFIELD_FAULTS");
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    if (!path || !real_open)
        return;
    int fd = real_open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0)
        return;
    void *map = mmap(NULL, SLOTS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (map != MAP_FAILED)
        control = map;
}

static int64_t read_slot(int index)
{
    return control ? atomic_load(&control[index]) : 0;
}

/* Returns whether to fail this call. Sets errno if so. */
static int should_fail(enum call call)
{
    int first_slot = FIRST_CALL + SLOTS_PER_CALL * (int)call;
    int64_t error = read_slot(first_slot);
    if (!error)
        return 0;
    /* A multiplicative hash of a counter is cheap and evenly distributed. */
    uint64_t draw = (atomic_fetch_add(&draw_count, 1) + 1) * 0x9e3779b97f4a7c15ULL;
    if ((int64_t)((draw >> 33) % 1000) >= read_slot(first_slot + 1))
        return 0;
    atomic_fetch_add(&control[first_slot + 2], 1);
    errno = (int)error;
    return 1;
}

static void set_origin(int fd, unsigned char origin)
{
    if (fd >= 0 && fd < MAX_TRACKED_DESCRIPTORS)
        atomic_store(&origins[fd], origin);
}

static unsigned char origin_of(int fd)
{
    return fd >= 0 && fd < MAX_TRACKED_DESCRIPTORS ? atomic_load(&origins[fd]) : 0;
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) \
        real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

static size_t limit_length(int fd, size_t length, int limit_slot)
{
    int64_t limit = read_slot(limit_slot);
    return limit > 0 && origin_of(fd) && (int64_t)length > limit ? (size_t)limit : length;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    REAL(accept4);
    if (should_fail(CALL_ACCEPT))
        return -1;
    int accepted = real(fd, address, length, flags);
    set_origin(accepted, 2);
    return accepted;
}

int accept(int fd, struct sockaddr *address, socklen_t *length)
{
    return accept4(fd, address, length, 0);
}

int socket(int domain, int type, int protocol)
{
    REAL(socket);
    return should_fail(CALL_SOCKET) ? -1 : real(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t length)
{
    REAL(bind);
    return should_fail(CALL_BIND) ? -1 : real(fd, address, length);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    REAL(connect);
    if (should_fail(CALL_CONNECT))
        return -1;
    set_origin(fd, 1);
    return real(fd, address, length);
}

int close(int fd)
{
    REAL(close);
    set_origin(fd, 0);
    return real(fd);
}

int epoll_ctl(int epoll, int operation, int fd, struct epoll_event *event)
{
    REAL(epoll_ctl);
    if (operation != EPOLL_CTL_DEL && should_fail(CALL_REGISTER))
        return -1;
    return real(epoll, operation, fd, event);
}

int epoll_wait(int epoll, struct epoll_event *events, int max_events, int timeout)
{
    REAL(epoll_wait);
    return should_fail(CALL_WAIT) ? -1 : real(epoll, events, max_events, timeout);
}

static int should_fail_read(int fd)
{
    unsigned char origin = origin_of(fd);
    return (origin == 1 && should_fail(CALL_READ_CONNECTED)) || (origin == 2 && should_fail(CALL_READ_ACCEPTED));
}

static int should_fail_write(int fd)
{
    unsigned char origin = origin_of(fd);
    return (origin == 1 && should_fail(CALL_WRITE_CONNECTED)) || (origin == 2 && should_fail(CALL_WRITE_ACCEPTED));
}

ssize_t recv(int fd, void *buffer, size_t length, int flags)
{
    REAL(recv);
    return should_fail_read(fd) ? -1 : real(fd, buffer, limit_length(fd, length, READ_LIMIT), flags);
}

ssize_t read(int fd, void *buffer, size_t length)
{
    REAL(read);
    return should_fail_read(fd) ? -1 : real(fd, buffer, limit_length(fd, length, READ_LIMIT));
}

ssize_t send(int fd, const void *buffer, size_t length, int flags)
{
    REAL(send);
    return should_fail_write(fd) ? -1 : real(fd, buffer, limit_length(fd, length, WRITE_LIMIT), flags);
}

ssize_t write(int fd, const void *buffer, size_t length)
{
    REAL(write);
    return should_fail_write(fd) ? -1 : real(fd, buffer, limit_length(fd, length, WRITE_LIMIT));
}

ssize_t sendto(int fd, const void *buffer, size_t length, int flags, const struct sockaddr *to, socklen_t to_length)
{
    REAL(sendto);
    return should_fail(CALL_SEND_DATAGRAM) ? -1 : real(fd, buffer, length, flags, to, to_length);
}

ssize_t recvfrom(int fd, void *buffer, size_t length, int flags, struct sockaddr *from, socklen_t *from_length)
{
    REAL(recvfrom);
    return should_fail(CALL_RECEIVE_DATAGRAM) ? -1 : real(fd, buffer, length, flags, from, from_length);
}

static int needs_mode(int flags)
{
    return (flags & O_CREAT) || (flags & O_TMPFILE) == O_TMPFILE;
}

int open64(const char *path, int flags, ...)
{
    REAL(open64);
    mode_t mode = 0;
    if (needs_mode(flags)) {
        __builtin_va_list arguments;
        __builtin_va_start(arguments, flags);
        mode = __builtin_va_arg(arguments, mode_t);
        __builtin_va_end(arguments);
    }
    return should_fail(CALL_OPEN) ? -1 : real(path, flags, mode);
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
    REAL(clock_gettime);
    int result = real(clock, time);
    int64_t offset = read_slot(WALL_CLOCK_OFFSET);
    if (result == 0 && clock == CLOCK_REALTIME && offset) {
        int64_t nanoseconds = time->tv_sec * 1000000000LL + time->tv_nsec + offset;
        time->tv_sec = nanoseconds / 1000000000LL;
        time->tv_nsec = nanoseconds % 1000000000LL;
    }
    return result;
}
